/* A digest of the core's decisions, for comparing two versions of the sources.
 *
 * Every effect is one step: the simulated time, the controller, and the bytes that go to users,
 * workers, peers, the cloud and the key-value store. Log text and names from the sources are left
 * out, so that a step changes only if the behaviour does. Used by tests/compare_behaviour.sh. */
#ifndef BD_TESTS_BEHAVIOUR_DIGEST_H
#define BD_TESTS_BEHAVIOUR_DIGEST_H
#include "model/effect.h"
#include "wire/frame.h"
#include <stdint.h>
#include <stdio.h>

struct behaviour_digest {
    uint64_t hash;
    uint64_t steps;
    FILE *trace; /* receives each step as a line; NULL: none */
};

/* Starts an empty digest. The trace may be NULL. */
void behaviour_digest_start(struct behaviour_digest *digest, FILE *trace);

/* Adds an effect of a controller at a simulated time. `requester` identifies who awaits the reply;
 * 0: nobody. */
void behaviour_digest_effect(struct behaviour_digest *digest, double at_s, int controller,
                             const struct bd_effect *effect, uint64_t requester);

/* Adds a status frame that a controller sends to a peer. */
void behaviour_digest_status(struct behaviour_digest *digest, double at_s, int controller, int peer,
                             const struct bd_frame *frame);
#endif
