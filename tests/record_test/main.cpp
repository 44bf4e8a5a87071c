#define BOOST_TEST_MODULE record
#include <boost/test/unit_test.hpp>
