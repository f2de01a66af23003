/* Protocols with users, workers, the cloud and the key-value store. This header includes all public
 * headers of these protocols.
 *
 * Only the files wire* contain the field names and formats of the protocols; other modules use the
 * types of these headers. Readers take parsed JSON, writers return JSON or text. All functions are
 * pure apart from allocating memory. Frames between controllers are in frame.h, the heartbeat cache
 * is in heartbeat_cache.h.
 *
 * Conventions:
 * - A json_t argument is borrowed unless the comment says that it is consumed. A returned json_t is
 *   a new reference unless the comment says that it is borrowed.
 * - A returned char * is allocated on the heap and freed by the caller; NULL: out of memory.
 * - Durations and times are in seconds, memory and images in GB, CPUs in cores, GPUs in devices,
 *   prices in the cloud's currency per hour.
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
