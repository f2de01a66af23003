/* Sizes and bounds that the protocols set. */
#ifndef BD_WIRE_LIMITS_H
#define BD_WIRE_LIMITS_H

/* Bytes with the terminator. */
#define BD_JOB_ID_BYTES 32 /* of a job's id, "job-" and up to 18 digits */
#define BD_LABEL_BYTES 64  /* of any other name, and of an address "HOST:PORT" */
#define BD_HASH_BYTES 20   /* of a 64-bit hash in 16 hexadecimal digits */

#define BD_TASKS_MAX 100000u     /* tasks of a job */
#define BD_TYPES_MAX 32          /* machine types in a job's list, and of the cloud */
#define BD_TYPE_ZONES_MAX 16     /* zones in which a machine type is offered */
#define BD_PARENT_PARTS_MAX 512u /* keys over which a job's list of parents is spread */
#endif
