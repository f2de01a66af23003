/* Paths of the HTTP requests. Callers append ids, keys and query parameters. */
#ifndef BD_WIRE_PATHS_H
#define BD_WIRE_PATHS_H

/* Served by controllers for users and workers. */
#define BD_PATH_HEALTH "/up"
#define BD_PATH_HEARTBEAT "/checkin"
#define BD_PATH_JOBS "/submissions"
#define BD_PATH_CANCEL "/withdraw" /* appended to a job's path */

/* Served by workers. */
#define BD_PATH_COMMANDS "/do" /* direct commands */

/* Served by the cloud. */
#define BD_PATH_MACHINES "/machines" /* GET: list of machines; POST: provisioning request */
#define BD_PATH_RETURN_MACHINES "/machines/return" /* scale-in */

/* Served by the key-value store. */
#define BD_PATH_COMMIT "/commit"          /* compare-and-swap transaction */
#define BD_PATH_GRANTS "/grants"          /* leases */
#define BD_PATH_RENEW "/renew"            /* appended to a grant's path */
#define BD_PATH_KEYS "/kv"                /* followed by "/" and a key */
#define BD_PATH_LIST "/kv?starts="        /* followed by a key prefix: key-value pairs */
#define BD_PATH_REFRESH "/follow?starts=" /* followed by a key prefix: changes since a revision */
#endif
