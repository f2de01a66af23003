/* The cloud's list of machines, page by page. Blocking. */
#ifndef BD_CLOUD_LIST_H
#define BD_CLOUD_LIST_H
#include "base/http.h"
#include "wire/wire.h"

struct bd_node;

/* All pages. False: a page was not had; *out is to be freed all the same. */
bool bd_cloud_list(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                   size_t *n);
/* One page, beginning after the last machine of *out, which grows. The answer's status. */
long bd_cloud_list_page(struct bd_node *node, struct bd_http *http, struct bd_cloud_machine **out,
                        size_t *n, bool *more);
#endif
