// The command line of the target stand-in; apart from ctl_test because it is a known failure.

#include <boost/process.hpp>
#include <catch2/catch.hpp>

// Guards against a program that cannot say how to use it or which version it is.
TEST_CASE("help and version of the target end with 0", "[ctl]")
{
    namespace bp = boost::process;
    for (const char* option : { "--help", "--version" }) {
        CAPTURE(option);
        CHECK(bp::system(std::string(CICADAWARD_PROGRAMS) + "/cicadaward-target", option,
                  bp::std_in<bp::null, bp::std_out> bp::null, bp::std_err > bp::null)
            == 0);
    }
}
