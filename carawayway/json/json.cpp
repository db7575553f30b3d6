// Compiles Boost.JSON into this library, so that programs do not need its shared library.
#include <boost/json/src.hpp>
