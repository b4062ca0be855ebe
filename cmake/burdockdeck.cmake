# Declares a library in libs/ or platform/ and its test programs.
#
#   burdockdeck_library(NAME SOURCES a.cpp DEPENDS base PRIVATE_DEPENDS yaml-cpp TESTS thing)
#
# Each TESTS entry `thing` builds tests/test_thing.cpp as a separate doctest program.
set(BURDOCKDECK_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion
    -Wnon-virtual-dtor -Wold-style-cast
    # GCC 12 gives false warnings for the frame allocation of Asio coroutines.
    -Wno-mismatched-new-delete)

if(BURDOCKDECK_WARNINGS_AS_ERRORS)
  list(APPEND BURDOCKDECK_WARNINGS -Werror)
endif()

function(burdockdeck_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  if(arg_SOURCES)
    list(TRANSFORM arg_SOURCES PREPEND src/)
    add_library(burdockdeck_${name} STATIC ${arg_SOURCES})
    target_include_directories(burdockdeck_${name} PUBLIC include PRIVATE src)
    target_compile_options(burdockdeck_${name} PRIVATE ${BURDOCKDECK_WARNINGS})
    set(scope PUBLIC)
    if(arg_PRIVATE_DEPENDS)
      target_link_libraries(burdockdeck_${name} PRIVATE ${arg_PRIVATE_DEPENDS})
    endif()
  else()
    add_library(burdockdeck_${name} INTERFACE)
    target_include_directories(burdockdeck_${name} INTERFACE include)
    set(scope INTERFACE)
  endif()
  foreach(dep ${arg_DEPENDS})
    if(TARGET burdockdeck_${dep})
      target_link_libraries(burdockdeck_${name} ${scope} burdockdeck_${dep})
    else()
      target_link_libraries(burdockdeck_${name} ${scope} ${dep})
    endif()
  endforeach()
  if(NOT BURDOCKDECK_TESTS)
    return()
  endif()
  foreach(test ${arg_TESTS})
    add_executable(test_${test} tests/test_${test}.cpp)
    target_include_directories(test_${test} PRIVATE src)
    target_compile_options(test_${test} PRIVATE ${BURDOCKDECK_WARNINGS} -Wno-old-style-cast)
    target_link_libraries(test_${test} PRIVATE burdockdeck_${name} ${arg_TEST_DEPENDS} Threads::Threads)
    add_test(NAME ${name}.${test} COMMAND test_${test})
    set_tests_properties(${name}.${test} PROPERTIES TIMEOUT 240)
  endforeach()
endfunction()

# Declares a program: main.cpp of the current folder, linked with the given libraries.
function(burdockdeck_program name)
  add_executable(${name} main.cpp)
  target_compile_options(${name} PRIVATE ${BURDOCKDECK_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARGN} gflags Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
