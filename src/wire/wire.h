/* The protocols with users, workers, the cloud and the key-value store: the face of this folder.
 *
 * Only the files wire* know the protocols' words and forms; everything above works with the types
 * of these headers. What is read comes as parsed JSON, what is written goes out as JSON or as text.
 * All functions are pure, but for the memory that they allocate. Frames between controllers are in
 * frame.h, the cache of heartbeats in heartbeat_cache.h.
 *
 * In all of them:
 * - A json_t that is passed in is borrowed, unless the comment says that it is consumed; one that
 * is returned is a new reference, unless the comment says that it is borrowed.
 * - A char * that is returned is a text on the heap that the caller frees; NULL: out of memory.
 * - Durations and times are seconds, memory and images GB, CPUs and GPUs numbers of cores and
 *   devices, prices the cloud's currency per hour.
 */
#ifndef BD_WIRE_H
#define BD_WIRE_H
#include "wire/wire_cloud.h"
#include "wire/wire_jobs.h"
#include "wire/wire_limits.h"
#include "wire/wire_paths.h"
#include "wire/wire_store.h"
#include "wire/wire_workers.h"
#endif
