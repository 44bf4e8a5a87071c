#define BOOST_TEST_MODULE retries
#include <boost/test/unit_test.hpp>
