#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "connection_p.h"
#include "siskindrum/core/guard.h"
#include "siskindrum/peer/codec.h"

namespace siskindrum::peer {

namespace {

constexpr char kPath[] = "/peer/1";
constexpr char kFleetHeader[] = "x-siskindrum-fleet";
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::int32_t kWindowBytes = 4 * 1024 * 1024;
constexpr std::uint32_t kMaxStreams = 1000;
// Of all messages of a connection that have begun and not ended.
constexpr std::size_t kMaxIncomingBytes = 8 * kMaxMessageBytes;
// A peer answers as soon as it has read a message.
constexpr core::Milliseconds kAnswerTime{2000};

nghttp2_nv MakeHeader(const std::string& name, const std::string& value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

ssize_t ReadBody(nghttp2_session*,
                 std::int32_t stream,
                 std::uint8_t* buffer,
                 std::size_t length,
                 std::uint32_t* flags,
                 nghttp2_data_source*,
                 void* user) {
  auto& connection = *static_cast<Connection*>(user);
  const auto it = connection.outgoing_.find(stream);
  if (it == connection.outgoing_.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  Outgoing& message = it->second;
  const std::size_t count =
      std::min(length, message.bytes_.size() - message.offset_);
  std::copy_n(message.bytes_.data() + message.offset_, count, buffer);
  message.offset_ += count;
  if (message.offset_ == message.bytes_.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

int OnHeader(nghttp2_session*,
             const nghttp2_frame* frame,
             const std::uint8_t* name,
             std::size_t name_length,
             const std::uint8_t* value,
             std::size_t value_length,
             std::uint8_t,
             void* user) {
  auto& connection = *static_cast<Connection*>(user);
  if (!connection.address_.empty()) {
    return 0;  // Answers carry no header that matters.
  }
  const std::string key(reinterpret_cast<const char*>(name), name_length);
  const std::string text(reinterpret_cast<const char*>(value), value_length);
  Incoming& incoming = connection.incoming_[frame->hd.stream_id];
  if (key == ":path") {
    incoming.path_good_ = text == kPath;
  } else if (key == kFleetHeader) {
    incoming.fleet_good_ = text == connection.shared_->options_.fleet_;
  }
  return 0;
}

// Releases the bytes of a message and keeps none that follow.
void DropMessage(Connection& connection, Incoming& incoming) {
  connection.incoming_bytes_ -= incoming.bytes_.size();
  incoming.bytes_ = {};
  incoming.dropped_ = true;
}

int OnData(nghttp2_session* session,
           std::uint8_t,
           std::int32_t stream,
           const std::uint8_t* data,
           std::size_t length,
           void* user) {
  auto& connection = *static_cast<Connection*>(user);
  if (!connection.address_.empty()) {
    return 0;
  }
  Incoming& incoming = connection.incoming_[stream];
  if (incoming.dropped_) {
    return 0;
  }
  if (incoming.bytes_.size() + length > kMaxMessageBytes) {
    DropMessage(connection, incoming);
    return 0;
  }
  if (connection.incoming_bytes_ + length > kMaxIncomingBytes) {
    DropMessage(connection, incoming);
    // The sender learns that its message was not handled.
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  connection.incoming_bytes_ += length;
  incoming.bytes_.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

void Answer(Connection& connection, std::int32_t stream, bool good) {
  const std::string name = ":status";
  const std::string value = good ? "204" : "400";
  const nghttp2_nv header = MakeHeader(name, value);
  nghttp2_submit_response(connection.session_, stream, &header, 1, nullptr);
}

int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  auto& connection = *static_cast<Connection*>(user);
  const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  const auto it = connection.incoming_.find(frame->hd.stream_id);
  if (!connection.address_.empty() || !ends ||
      it == connection.incoming_.end()) {
    return 0;
  }
  Incoming incoming = std::move(it->second);
  connection.incoming_.erase(it);
  connection.incoming_bytes_ -= incoming.bytes_.size();
  const bool known =
      incoming.path_good_ && incoming.fleet_good_ && !incoming.dropped_;
  bool good = false;
  if (known) {
    // The caller is C code, through which no exception may pass.
    core::RunGuarded("peer_message", connection.shared_->handlers_.log_, [&] {
      good =
          connection.shared_->handlers_.received_(std::move(incoming.bytes_));
    });
  }
  ++(good ? connection.shared_->counters_.received_
          : connection.shared_->counters_.refused_);
  Answer(connection, frame->hd.stream_id, good);
  return 0;
}

int OnStreamClose(nghttp2_session*,
                  std::int32_t stream,
                  std::uint32_t error,
                  void* user) {
  auto& connection = *static_cast<Connection*>(user);
  const auto unfinished = connection.incoming_.find(stream);
  if (unfinished != connection.incoming_.end()) {
    DropMessage(connection, unfinished->second);
    connection.incoming_.erase(unfinished);
  }
  const auto it = connection.outgoing_.find(stream);
  if (it == connection.outgoing_.end()) {
    return 0;
  }
  if (error != NGHTTP2_NO_ERROR) {
    ++connection.shared_->counters_.failed_;
    // A refused stream was not handled by the peer.
    const bool refused = error == NGHTTP2_REFUSED_STREAM;
    connection.shared_->handlers_.failed_(
        it->second.tag_,
        {refused ? core::RunState::kNotRun : core::RunState::kMayHaveRun,
         core::Reason::kConnectionLost, "the peer closed the stream",
         core::Milliseconds(0)});
  }
  connection.outgoing_.erase(it);
  return 0;
}

}  // namespace

bool OpenSession(Connection& connection) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return false;
  }
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  const bool client = !connection.address_.empty();
  const int made = client ? nghttp2_session_client_new(&connection.session_,
                                                       callbacks, &connection)
                          : nghttp2_session_server_new(&connection.session_,
                                                       callbacks, &connection);
  nghttp2_session_callbacks_del(callbacks);
  if (made != 0) {
    return false;
  }
  const nghttp2_settings_entry entries[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes}};
  nghttp2_submit_settings(connection.session_, NGHTTP2_FLAG_NONE, entries,
                          std::size(entries));
  nghttp2_session_set_local_window_size(connection.session_, NGHTTP2_FLAG_NONE,
                                        0, kWindowBytes);
  return true;
}

void SubmitMessage(Connection& connection, Outgoing message) {
  const std::string names[] = {":method", ":scheme", ":path", ":authority",
                               kFleetHeader};
  const std::string values[] = {"POST", "http", kPath, connection.address_,
                                connection.shared_->options_.fleet_};
  nghttp2_nv headers[std::size(names)];
  for (std::size_t i = 0; i < std::size(names); ++i) {
    headers[i] = MakeHeader(names[i], values[i]);
  }
  nghttp2_data_provider provider{};
  provider.read_callback = ReadBody;
  const std::int32_t stream =
      nghttp2_submit_request(connection.session_, nullptr, headers,
                             std::size(headers), &provider, nullptr);
  if (stream < 0) {
    connection.broken_ = true;
    connection.waiting_.push_back(std::move(message));
    return;
  }
  ++connection.shared_->counters_.sent_;
  message.sent_at_ = std::chrono::steady_clock::now();
  connection.outgoing_[stream] = std::move(message);
}

void ReadSocket(Connection& connection) {
  std::uint8_t buffer[kReadBytes];
  const ssize_t count = recv(connection.socket_, buffer, sizeof(buffer), 0);
  if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
    connection.broken_ = true;
    return;
  }
  if (count < 0) {
    return;
  }
  connection.shared_->counters_.bytes_in_ += static_cast<std::uint64_t>(count);
  if (nghttp2_session_mem_recv(connection.session_, buffer,
                               static_cast<std::size_t>(count)) < 0) {
    ++connection.shared_->counters_.refused_;
    connection.broken_ = true;
  }
}

void WriteSocket(Connection& connection) {
  while (!connection.broken_) {
    if (connection.unsent_.empty()) {
      const std::uint8_t* data = nullptr;
      const ssize_t length =
          nghttp2_session_mem_send(connection.session_, &data);
      if (length < 0) {
        connection.broken_ = true;
        return;
      }
      if (length == 0) {
        return;
      }
      connection.unsent_.assign(reinterpret_cast<const char*>(data),
                                static_cast<std::size_t>(length));
    }
    const ssize_t sent =
        send(connection.socket_, connection.unsent_.data(),
             connection.unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      connection.broken_ = errno != EAGAIN && errno != EINTR;
      return;
    }
    connection.shared_->counters_.bytes_out_ +=
        static_cast<std::uint64_t>(sent);
    connection.unsent_.erase(0, static_cast<std::size_t>(sent));
  }
}

bool WantsWrite(const Connection& connection) {
  return connection.connecting_ || !connection.unsent_.empty() ||
         (connection.session_ != nullptr &&
          nghttp2_session_want_write(connection.session_) != 0);
}

bool IsSilent(const Connection& connection, core::TimePoint now) {
  // Streams are numbered as they were opened: the first is the oldest.
  return !connection.outgoing_.empty() &&
         now - connection.outgoing_.begin()->second.sent_at_ > kAnswerTime;
}

void CloseConnection(Connection& connection) {
  if (connection.socket_ >= 0) {
    close(connection.socket_);
    connection.socket_ = -1;
  }
  if (connection.session_ != nullptr) {
    nghttp2_session_del(connection.session_);
    connection.session_ = nullptr;
  }
  NodeCounters& counters = connection.shared_->counters_;
  for (const Outgoing& message : connection.waiting_) {
    ++counters.failed_;
    connection.shared_->handlers_.failed_(
        message.tag_, {core::RunState::kNotRun, core::Reason::kConnectFailed,
                       connection.address_, core::Milliseconds(0)});
  }
  connection.waiting_.clear();
  for (const auto& [stream, message] : connection.outgoing_) {
    ++counters.failed_;
    connection.shared_->handlers_.failed_(
        message.tag_,
        {core::RunState::kMayHaveRun, core::Reason::kConnectionLost,
         connection.address_, core::Milliseconds(0)});
  }
  connection.outgoing_.clear();
}

}  // namespace siskindrum::peer
