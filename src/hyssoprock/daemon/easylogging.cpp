// Compiles the logging library, which Debian ships as source.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
