// Version of the directory, ordered first by the term of the control leader that published it, then by its sequence
// number. A process never goes back to an older version.
#pragma once

#include "core/ids.h"

namespace cicadaward {

struct DirectoryVersion {
    Term term;
    uint64_t sequence = 0;

    friend bool operator==(const DirectoryVersion& a, const DirectoryVersion& b)
    {
        return a.term == b.term && a.sequence == b.sequence;
    }
    friend bool operator!=(const DirectoryVersion& a, const DirectoryVersion& b) { return !(a == b); }
    friend bool operator<(const DirectoryVersion& a, const DirectoryVersion& b)
    {
        return a.term != b.term ? a.term < b.term : a.sequence < b.sequence;
    }
    friend bool operator>(const DirectoryVersion& a, const DirectoryVersion& b) { return b < a; }
    friend bool operator<=(const DirectoryVersion& a, const DirectoryVersion& b) { return !(b < a); }
    friend bool operator>=(const DirectoryVersion& a, const DirectoryVersion& b) { return !(a < b); }
};

} // namespace cicadaward
