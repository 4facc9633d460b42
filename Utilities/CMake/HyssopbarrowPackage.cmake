# Compiler settings of every target.
add_library(hyssopbarrow_options INTERFACE)
target_compile_options(hyssopbarrow_options INTERFACE
  -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual
  # Designated initialisers leave out members that have a default.
  -Wno-missing-field-initializers
  # GCC 12 warns falsely about inactive alternatives of std::variant.
  $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
if(HYSSOPBARROW_WARNINGS_AS_ERRORS)
  target_compile_options(hyssopbarrow_options INTERFACE -Werror)
endif()
if(HYSSOPBARROW_SANITIZERS)
  target_compile_options(hyssopbarrow_options INTERFACE
    -fsanitize=${HYSSOPBARROW_SANITIZERS} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  target_link_options(hyssopbarrow_options INTERFACE -fsanitize=${HYSSOPBARROW_SANITIZERS})
endif()

# Adds the static library `hyssopbarrow_<name>` of one package.
#
# hyssopbarrow_package(<name> SOURCES <file>... [DEPENDS <package>...] [LIBRARIES <target>...])
#
# A package may depend only on packages added before it, which excludes cycles.
# Any other dependency is a configuration error.
function(hyssopbarrow_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_library(hyssopbarrow_${name} STATIC ${ARG_SOURCES})
  target_include_directories(hyssopbarrow_${name} PUBLIC ${PROJECT_SOURCE_DIR}/Source)
  target_link_libraries(hyssopbarrow_${name} PRIVATE hyssopbarrow_options)
  foreach(dependency IN LISTS ARG_DEPENDS)
    if(NOT TARGET hyssopbarrow_${dependency})
      message(FATAL_ERROR "package ${name} depends on ${dependency}, which was not added before it")
    endif()
    target_link_libraries(hyssopbarrow_${name} PUBLIC hyssopbarrow_${dependency})
  endforeach()
  target_link_libraries(hyssopbarrow_${name} PUBLIC ${ARG_LIBRARIES})
endfunction()
