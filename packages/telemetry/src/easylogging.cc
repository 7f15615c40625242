// Compiles the logging library once.
#include <easylogging++.cc>  // NOLINT
