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

# One GoogleTest binary for a folder: every *_test.cpp file below it.
function(yuccashift_test name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*_test.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  yuccashift_link(${name})
  target_link_libraries(${name} PRIVATE GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
