# Links a target against the whole library, so that plug-ins which register
# themselves from static initialisers are kept by the linker.
function(yuccashift_link target)
  target_link_libraries(${target} PRIVATE "$<LINK_LIBRARY:WHOLE_ARCHIVE,yuccashift>" yuccashift_warnings)
endfunction()

# One program from its sources.
function(yuccashift_program name)
  add_executable(${name} ${ARGN})
  yuccashift_link(${name})
endfunction()

# Tests that KNOWN-RED.txt names in a line `red: Suite.Test` are passed over; tools/test prints them.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt RED_TESTS REGEX "^red: ")
list(TRANSFORM RED_TESTS REPLACE "^red: ([^ ]+).*" "\\1")
list(JOIN RED_TESTS ":" RED_FILTER)

# One GoogleTest binary for a folder: every *_test.cpp file below it.
function(yuccashift_test name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*_test.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  yuccashift_link(${name})
  target_link_libraries(${name} PRIVATE GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
  if(RED_FILTER)
    add_test(NAME ${name} COMMAND ${name} "--gtest_filter=-${RED_FILTER}")
  else()
    add_test(NAME ${name} COMMAND ${name})
  endif()
endfunction()
