/* Blocking HTTP client for calls to the key-value store, the cloud, workers and controllers.
 *
 * A client owns a pool of reusable connections and must only be used by one thread. Bodies are
 * JSON. Proxy settings of the environment are ignored.
 */
#ifndef BD_HTTP_H
#define BD_HTTP_H
#include <stddef.h>

/* Status of a successful response. */
#define BD_HTTP_OK 200

struct bd_http;
struct bd_counter;

struct bd_http_response {
    long status; /* 0: no response; the request may or may not have been executed */
    char *body;  /* terminated, freed by bd_http_response_free; NULL: empty */
    size_t len;  /* bytes of the body, without the terminator */
};

/* Initializes the client library. Call once per process, before the first thread starts. Returns 0,
 * or -1 on failure. */
int bd_http_global_init(void);
/* Releases the resources of bd_http_global_init. All clients must have been freed. */
void bd_http_global_cleanup(void);
/* Creates a client that keeps at most `idle_connections_max` idle connections open. `counter`,
 * which may be NULL, counts its calls and must outlive the client. Returns NULL if out of memory.
 */
struct bd_http *bd_http_new(long idle_connections_max, struct bd_counter *counter);
/* Closes the connections and frees the client. `http` may be NULL. */
void bd_http_free(struct bd_http *http);
/* Sends a request and waits for the response, at most `timeout_s` seconds in total. The caller
 * releases `out`. `method` is GET, POST or DELETE; `body` is sent with POST only and may be NULL. A
 * response that is too long or truncated counts as no response. */
void bd_http_call(struct bd_http *http, const char *method, const char *url, const char *body,
                  double timeout_s, struct bd_http_response *out);
/* Frees the body and zeroes the response. Does nothing on a zeroed response. */
void bd_http_response_free(struct bd_http_response *response);
#endif
