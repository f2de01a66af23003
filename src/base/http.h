/* Blocking HTTP client: one reusable connection holder per thread. */
#ifndef BD_HTTP_H
#define BD_HTTP_H
#include <stddef.h>

struct bd_http;
struct bd_counter;

struct bd_http_response {
    long status; /* 0: no answer, the request may or may not have been executed */
    char *body;  /* always terminated, freed by bd_http_response_free */
    size_t len;
};

int bd_http_start(void);
void bd_http_end(void);
/* keep: connections that are kept; counter: of its calls, or NULL */
struct bd_http *bd_http_new(long keep, struct bd_counter *counter);
void bd_http_free(struct bd_http *http);
/* method GET, POST or DELETE; body may be NULL */
void bd_http_call(struct bd_http *http, const char *method, const char *url, const char *body,
                  double timeout_s, struct bd_http_response *out);
void bd_http_response_free(struct bd_http_response *r);
#endif
