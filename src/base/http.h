/* Blocking HTTP client, for calls to the key-value store, the cloud and workers.
 *
 * A client owns its reusable connections and belongs to one thread; several threads use a client
 * each. Bodies are JSON. Proxies of the environment are ignored.
 */
#ifndef BD_HTTP_H
#define BD_HTTP_H
#include <stddef.h>

struct bd_http;
struct bd_counter;

struct bd_http_response {
    long status; /* 0: no answer, the request may or may not have been executed */
    char *body;  /* NULL: empty; else terminated, freed by bd_http_response_free */
    size_t len;  /* bytes of the body without the terminator */
};

/* Prepares the client library, once in a process and before its first thread starts. 0, or -1. */
int bd_http_global_init(void);
/* Gives back what bd_http_global_init took; no client may be left. */
void bd_http_global_cleanup(void);
/* A client that keeps at most `keep` idle connections open. Its calls are counted in `counter`,
 * which may be NULL and must outlive it. NULL: out of memory. */
struct bd_http *bd_http_new(long keep, struct bd_counter *counter);
/* Closes its connections. `http` may be NULL. */
void bd_http_free(struct bd_http *http);
/* Makes one call, of at most `timeout_s` seconds all in all, and fills `out`, which the caller
 * releases. `method` is GET, POST or DELETE; `body` is sent with POST only and may be NULL. An
 * answer that is too long or breaks off counts as none. */
void bd_http_call(struct bd_http *http, const char *method, const char *url, const char *body,
                  double timeout_s, struct bd_http_response *out);
/* Frees the body and zeroes the response; harmless on one that is zeroed already. */
void bd_http_response_free(struct bd_http_response *response);
#endif
