#!/usr/bin/env bash
# Installs the packages that building and testing need. Usage: tools/install.sh
set -euo pipefail
packages=(g++ clang clang-format clang-tidy libclang-rt-14-dev cmake ninja-build
  pkg-config git perl spin curl
  libabsl-dev libboost-dev libboost-program-options-dev libboost-test-dev
  libcpp-httplib-dev libeasyloggingpp-dev libexpected-dev libnghttp2-dev
  libssl-dev zlib1g-dev libbrotli-dev
  librapidcheck-dev libxxhash-dev nlohmann-json3-dev)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
fi
