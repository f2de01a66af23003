/* Paths of the HTTP requests. What comes after a path is the caller's. */
#ifndef BD_WIRE_PATHS_H
#define BD_WIRE_PATHS_H

/* served by a controller, to users and workers */
#define BD_PATH_HEALTH "/up"
#define BD_PATH_HEARTBEAT "/checkin"
#define BD_PATH_JOBS "/submissions"
#define BD_PATH_CANCEL "/withdraw" /* after a job's path: cancel it */

/* served by workers */
#define BD_PATH_COMMANDS "/do" /* direct commands */

/* served by the cloud */
#define BD_PATH_MACHINES "/machines"               /* GET: the list; POST: a provisioning request */
#define BD_PATH_RETURN_MACHINES "/machines/return" /* scale in */

/* served by the key-value store */
#define BD_PATH_COMMIT "/commit"          /* a compare-and-swap transaction */
#define BD_PATH_GRANTS "/grants"          /* leases */
#define BD_PATH_RENEW "/renew"            /* after a grant's path */
#define BD_PATH_KEYS "/kv"                /* before "/" and a key */
#define BD_PATH_LIST "/kv?starts="        /* before a prefix of keys: pairs of key and value */
#define BD_PATH_REFRESH "/follow?starts=" /* before a prefix: what changed since a revision */
#endif
