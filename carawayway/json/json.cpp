// Compiles Boost.JSON, which is used without its shared library, once for all programs.
#include <boost/json/src.hpp>
