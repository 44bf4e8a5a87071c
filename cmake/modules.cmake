# Strict warnings for the project's own code, but not for generated code.
add_library(acp_warnings INTERFACE)
target_compile_options(
  acp_warnings
  INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wsign-conversion -Wnon-virtual-dtor
            -Wold-style-cast -Woverloaded-virtual
            # Option structs are initialised by designated initialisers that omit defaults.
            -Wno-missing-field-initializers -Werror)

# acp_module(NAME [DEPENDS ...]): adds the library acp_NAME with all sources of src/NAME.
function(acp_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
  if(NOT sources)
    # Header-only module.
    add_library(acp_${name} INTERFACE)
    target_include_directories(acp_${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(acp_${name} INTERFACE ${ARG_DEPENDS} Threads::Threads)
    return()
  endif()
  add_library(acp_${name} STATIC ${sources})
  target_include_directories(acp_${name} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_link_libraries(acp_${name} PRIVATE acp_warnings PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# acp_program(NAME [DEPENDS ...]): adds the program NAME with all sources of src/programs/NAME.
function(acp_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/programs/${name}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE acp_warnings ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE ACP_VERSION="${PROJECT_VERSION}")
endfunction()

# acp_test(NAME [DEPENDS ...]): adds the test program of module NAME with all sources of
# tests/NAME_test, and registers it with CTest.
function(acp_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}_test/*.cpp)
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE acp_warnings acp_${name} ${ARG_DEPENDS}
                                             Boost::unit_test_framework)
  target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK
                                                  ACP_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name}_test --log_level=error)
endfunction()
