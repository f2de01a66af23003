/* Parser for the socket addresses in the settings and the protocols. */
#ifndef BD_ADDRESS_H
#define BD_ADDRESS_H
#include <stdbool.h>

struct sockaddr_in;

/* Parses "HOST:PORT" with a numeric IPv4 host. Returns false if the colon is missing or the host is
 * invalid. The port is not validated; text that is not a number is read as 0. */
bool bd_address_parse(const char *text, struct sockaddr_in *out);
#endif
