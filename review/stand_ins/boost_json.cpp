// Compiles Boost.JSON, which is used without its library.
#include <boost/json/src.hpp>
