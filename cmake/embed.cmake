# Writes a text file as a C++ string: cmake -DINPUT=... -DOUTPUT=... -DNAME=... -P embed.cmake
file(READ "${INPUT}" text)
file(WRITE "${OUTPUT}.new" "// Made from ${NAME}.\n#include <string_view>\n\nnamespace database_proxy::app {\nextern const std::string_view k${NAME};\nconst std::string_view k${NAME} = R\"embedded(${text})embedded\";\n}  // namespace database_proxy::app\n")
file(COPY_FILE "${OUTPUT}.new" "${OUTPUT}" ONLY_IF_DIFFERENT)
