#include "core/json_nesting.h"

namespace cicadaward {

bool isNestedDeeperThan(const std::string& json, size_t limit)
{
    size_t depth = 0;
    bool isInText = false;
    for (size_t i = 0; i < json.size(); ++i) {
        char c = json[i];
        if (isInText) {
            if (c == '\\')
                ++i;
            isInText = c != '"';
        } else if (c == '"') {
            isInText = true;
        } else if (c == '[' || c == '{') {
            if (++depth > limit)
                return true;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace cicadaward
