// Provides main() for every test program, so that Catch2's implementation is compiled once.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
