/* Which request of the HTTP API a method and a path mean. Stateless; called by the API server. */
#ifndef BD_API_ROUTE_H
#define BD_API_ROUTE_H
#include "adapters/event.h"
#include "wire/wire.h"
#include "wire/wire_limits.h"

/* Where a request goes: an event of a kind, for the job that the path names, or an error. */
struct bd_api_route {
    int error; /* HTTP status, 404 or 405; 0: none */
    enum bd_event_kind kind;
    char job_id[BD_LABEL_BYTES]; /* status and cancellation */
};

/* The route of a request other than a health check. */
struct bd_api_route bd_api_find_route(const char *method, const char *url);
#endif
