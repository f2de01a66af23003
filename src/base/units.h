/* Units of sizes. */
#ifndef BD_UNITS_H
#define BD_UNITS_H

#define BD_BYTES_PER_KB 1024u
#define BD_BYTES_PER_MB 1048576.0

#endif
