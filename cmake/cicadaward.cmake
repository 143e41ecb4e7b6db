# Helpers that keep the CMake file of each library to a few lines.

set(CICADAWARD_WARNINGS -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Werror)

# cicadaward_library(NAME SOURCES ... DEPENDS ...): static library cicadaward_NAME with include path libs/.
function(cicadaward_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(cicadaward_${name} STATIC ${ARG_SOURCES})
  target_include_directories(cicadaward_${name} PUBLIC ${CMAKE_SOURCE_DIR}/libs)
  target_compile_options(cicadaward_${name} PRIVATE ${CICADAWARD_WARNINGS})
  target_link_libraries(cicadaward_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# cicadaward_test(NAME SOURCES ... DEPENDS ... [READS_SOURCES]): a Catch2 program NAME, registered with CTest.
# READS_SOURCES defines CICADAWARD_SOURCE_DIR. Without it the compiler cache serves checkouts in other folders too.
add_library(cicadaward_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)
function(cicadaward_test name)
  cmake_parse_arguments(ARG "READS_SOURCES" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/libs)
  target_compile_options(${name} PRIVATE ${CICADAWARD_WARNINGS})
  if(ARG_READS_SOURCES)
    target_compile_definitions(${name} PRIVATE CICADAWARD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  endif()
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} cicadaward_catch_main)
  add_test(NAME ${name} COMMAND ${name})
endfunction()

# cicadaward_program(NAME SOURCES ... DEPENDS ...): an executable (daemon, tool or benchmark) that is not a test.
function(cicadaward_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/libs)
  target_compile_options(${name} PRIVATE ${CICADAWARD_WARNINGS})
  target_compile_definitions(${name} PRIVATE CICADAWARD_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

# cicadaward_program_test(NAME DEPENDS ... PROGRAMS ...): a test that finds its programs in CICADAWARD_PROGRAMS.
function(cicadaward_program_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PROGRAMS" ${ARGN})
  cicadaward_test(${name} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE CICADAWARD_PROGRAMS="${CMAKE_BINARY_DIR}/bin")
  add_dependencies(${name} ${ARG_PROGRAMS})
endfunction()
