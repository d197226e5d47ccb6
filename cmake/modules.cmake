# Declares the library mimosagauge_<name> from all sources below a folder.
function(mimosagauge_library name folder)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cc)
  add_library(mimosagauge_${name} STATIC ${sources})
  target_include_directories(mimosagauge_${name} PUBLIC
                             ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(mimosagauge_${name} PUBLIC ${arg_DEPENDS})
  mimosagauge_compile_options(mimosagauge_${name})
endfunction()

# A module of the product, in src/<name>.
function(mimosagauge_module name)
  mimosagauge_library(${name} src/${name} ${ARGN})
endfunction()

# An adapter to a deployment, in <name> beside the product.
function(mimosagauge_adapter name)
  mimosagauge_library(${name} ${name} ${ARGN})
  target_include_directories(mimosagauge_${name} PUBLIC ${PROJECT_SOURCE_DIR})
endfunction()
