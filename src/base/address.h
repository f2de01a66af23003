/* Addresses of sockets, as the settings and the protocols write them. Holds no state. */
#ifndef BD_ADDRESS_H
#define BD_ADDRESS_H
#include <stdbool.h>

struct sockaddr_in;

/* Reads "HOST:PORT" with a numeric IPv4 host. False: it has no colon, or no such host. The port is
 * not checked: what is no number is read as 0. */
bool bd_address_parse(const char *text, struct sockaddr_in *out);
#endif
