# Compiler options that every target of the project shares.
function(mimosagauge_compile_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow
                         -Wold-style-cast -Wnon-virtual-dtor -Woverloaded-virtual)
  if(MIMOSAGAUGE_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  target_compile_definitions(${target} PRIVATE SPDLOG_FMT_EXTERNAL
                             BOOST_ASIO_NO_DEPRECATED
                             BOOST_ASIO_DISABLE_IO_URING)
  if(MIMOSAGAUGE_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${MIMOSAGAUGE_SANITIZE}
                           -fno-omit-frame-pointer -fno-sanitize-recover=all
                           -O1)
    target_link_options(${target} PRIVATE -fsanitize=${MIMOSAGAUGE_SANITIZE})
    if(MIMOSAGAUGE_FUZZ)
      # Counts the branches that an input reaches.
      target_compile_options(${target} PRIVATE -fsanitize=fuzzer-no-link)
    endif()
    if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
      # Sanitizer instrumentation makes GCC 12 report false positives here.
      target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized
                             -Wno-restrict -Wno-tsan)
    endif()
  endif()
endfunction()
