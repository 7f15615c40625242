// Compiles the logging library once.
#include <easylogging++.cc>
