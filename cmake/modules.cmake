# Declares the library mimosagauge_<name> from all sources in src/<name>.
function(mimosagauge_module name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  add_library(mimosagauge_${name} STATIC ${sources})
  target_include_directories(mimosagauge_${name} PUBLIC
                             ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(mimosagauge_${name} PUBLIC ${arg_DEPENDS})
  mimosagauge_compile_options(mimosagauge_${name})
endfunction()
