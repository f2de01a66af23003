/* Sizes and limits that the protocols define. */
#ifndef BD_WIRE_LIMITS_H
#define BD_WIRE_LIMITS_H

/* Buffer sizes, including the terminator. */
#define BD_JOB_ID_BYTES 32 /* job id: "job-" and up to 18 digits */
#define BD_LABEL_BYTES 64  /* any other name, and addresses "HOST:PORT" */
#define BD_HASH_BYTES 20   /* 64-bit hash as 16 hexadecimal digits */

#define BD_TASKS_MAX 100000u     /* tasks per job */
#define BD_TYPES_MAX 32          /* machine types in a job's list, and offered by the cloud */
#define BD_TYPE_ZONES_MAX 16     /* zones that offer a machine type */
#define BD_PARENT_PARTS_MAX 512u /* keys over which the parents of a job are split */
#endif
