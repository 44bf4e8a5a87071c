#define BOOST_TEST_MODULE acpctl
#include <boost/test/unit_test.hpp>
