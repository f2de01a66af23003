#include "adapters/api_route.h"
#include "adapters/event.h"
#include "wire/wire_paths.h"
#include <microhttpd.h>
#include <stdbool.h>
#include <string.h>

/* The id between the jobs' path and the tail; false: the path is not of that form. */
static bool parse_job_path(const char *url, const char *tail, char *job_id, size_t capacity)
{
    const char *prefix = BD_PATH_JOBS "/";
    size_t prefix_len = strlen(prefix);
    size_t tail_len = strlen(tail), len = strlen(url);
    if (strncmp(url, prefix, prefix_len) != 0 || len <= prefix_len + tail_len)
        return false;
    size_t id_len = len - prefix_len - tail_len;
    if (strcmp(url + len - tail_len, tail) != 0 || id_len >= capacity)
        return false;
    memcpy(job_id, url + prefix_len, id_len);
    job_id[id_len] = '\0';
    return strchr(job_id, '/') == NULL;
}

struct bd_api_route bd_api_find_route(const char *method, const char *url)
{
    struct bd_api_route route = {.error = 0};
    const char *allowed = "POST";
    if (strcmp(url, BD_PATH_HEARTBEAT) == 0) {
        route.kind = BD_EVENT_HEARTBEAT;
    } else if (strcmp(url, BD_PATH_JOBS) == 0) {
        route.kind = BD_EVENT_USER_SUBMIT;
    } else if (parse_job_path(url, BD_PATH_CANCEL, route.job_id, sizeof route.job_id)) {
        route.kind = BD_EVENT_USER_CANCEL;
    } else if (parse_job_path(url, "", route.job_id, sizeof route.job_id)) {
        route.kind = BD_EVENT_USER_STATUS;
        allowed = "GET";
    } else {
        route.error = MHD_HTTP_NOT_FOUND;
        return route;
    }
    if (strcmp(method, allowed) != 0)
        route.error = MHD_HTTP_METHOD_NOT_ALLOWED;
    return route;
}
