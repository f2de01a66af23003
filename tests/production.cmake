# Builds the version in production from this repository's history. If the clone lacks that commit,
# nothing is built and the tests that need it are skipped.
#   cmake -DSOURCE=DIR -DOUT=DIR -P production.cmake
file(STRINGS ${SOURCE}/deploy/service.toml line REGEX "^production *=")
string(REGEX REPLACE ".*\"([0-9a-f]+)\".*" "\\1" commit "${line}")
execute_process(COMMAND git -C ${SOURCE} cat-file -e "${commit}^{commit}" RESULT_VARIABLE missing
                ERROR_QUIET)
if(missing)
  message(STATUS "commit ${commit} is not in this clone: production is not built")
  file(REMOVE_RECURSE ${OUT})
  return()
endif()
if(EXISTS ${OUT}/target/brambledoor)
  return()
endif()
file(MAKE_DIRECTORY ${OUT})
execute_process(COMMAND git -C ${SOURCE} archive --output=${OUT}/source.tar ${commit}
                COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} -E tar xf source.tar WORKING_DIRECTORY ${OUT}
                COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} -S ${OUT} -B ${OUT}/target -DCMAKE_BUILD_TYPE=Release
                COMMAND_ERROR_IS_FATAL ANY)
execute_process(COMMAND ${CMAKE_COMMAND} --build ${OUT}/target -j8 --target brambledoor
                COMMAND_ERROR_IS_FATAL ANY)
