#include "adapters/api_route.h"
#include "adapters/event.h"
#include "wire/wire_paths.h"
#include <microhttpd.h>
#include <stdbool.h>
#include <string.h>

/* Extracts the job id between BD_PATH_JOBS and the suffix of a path. False: the path has another
 * form, or the id is too long. */
static bool parse_job_path(const char *url, const char *suffix, char *job_id, size_t capacity)
{
    const char *prefix = BD_PATH_JOBS "/";
    size_t prefix_len = strlen(prefix);
    size_t suffix_len = strlen(suffix), len = strlen(url);
    if (strncmp(url, prefix, prefix_len) != 0 || len <= prefix_len + suffix_len)
        return false;
    size_t id_len = len - prefix_len - suffix_len;
    if (strcmp(url + len - suffix_len, suffix) != 0 || id_len >= capacity)
        return false;
    memcpy(job_id, url + prefix_len, id_len);
    job_id[id_len] = '\0';
    return strchr(job_id, '/') == NULL;
}

struct bd_api_route bd_api_find_route(const char *method, const char *url)
{
    struct bd_api_route route = {.error_status = 0};
    const char *allowed_method = "POST";
    if (strcmp(url, BD_PATH_HEARTBEAT) == 0) {
        route.kind = BD_EVENT_HEARTBEAT;
    } else if (strcmp(url, BD_PATH_JOBS) == 0) {
        route.kind = BD_EVENT_USER_SUBMIT;
    } else if (parse_job_path(url, BD_PATH_CANCEL, route.job_id, sizeof route.job_id)) {
        route.kind = BD_EVENT_USER_CANCEL;
    } else if (parse_job_path(url, "", route.job_id, sizeof route.job_id)) {
        route.kind = BD_EVENT_USER_STATUS;
        allowed_method = "GET";
    } else {
        route.error_status = MHD_HTTP_NOT_FOUND;
        return route;
    }
    if (strcmp(method, allowed_method) != 0)
        route.error_status = MHD_HTTP_METHOD_NOT_ALLOWED;
    return route;
}
