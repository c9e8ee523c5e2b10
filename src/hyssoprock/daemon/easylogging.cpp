// Compiles the logging library, which the Debian package contains as source code.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
