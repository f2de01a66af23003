/* The simulated controllers: models of the adapters around each core, as events in simulated time.
 * The event loop, the reads of the store, the election, the leader's transactions, the effects and
 * the messages that arrive have a file each. simulation.c plays the days. A controller's state is
 * its struct sim_node. */
#ifndef BD_TESTS_SIM_NODE_H
#define BD_TESTS_SIM_NODE_H
#include "simulation.h"

#define SIM_STORE_TIMEOUT_S 1.5

/* sim_node.c: what all files need. sim_node_set_clock and sim_node_step require a running core. */
struct timespec sim_node_monotonic(const struct sim *sim, const struct sim_node *node);
double sim_node_wall_clock_s(const struct sim *sim, const struct sim_node *node);
/* Sets the core's time to the node's. */
void sim_node_set_clock(struct sim *sim, struct sim_node *node);
/* Calls the key-value store; the call then owns the body. sim_node_answered receives the answer. */
struct sim_call *sim_node_call(struct sim *sim, struct sim_node *node, enum sim_op op,
                               enum sim_purpose purpose, const char *key, char *body,
                               double timeout_s);
/* Schedules an event of the node's current epoch. */
struct sim_event *sim_node_schedule(struct sim *sim, struct sim_node *node, double delay_s,
                                    enum sim_event_kind kind);
/* Runs a step of the core and performs all of its effects. */
void sim_node_step(struct sim *sim, struct sim_node *node);
void sim_release_acquisition(struct sim_node *node);

/* sim_effects.c */
/* Performs the effect and takes ownership of it. */
void sim_perform_effect(struct sim *sim, struct sim_node *node, struct bd_effect *effect);
/* Sends a frame to a peer, given by its index in the node's settings. `effect` may be NULL;
 * otherwise its body moves into the frame. */
struct sim_event *sim_send_frame(struct sim *sim, struct sim_node *node, int peer,
                                 enum bd_frame_type type, struct bd_effect *effect);

/* sim_reader.c */
void sim_reader_read(struct sim *sim, struct sim_node *node);
void sim_reader_answered(struct sim *sim, struct sim_node *node, struct sim_call *call, long status,
                         json_t *answer);
void sim_drain_records_read(struct sim *sim, struct sim_node *node, struct sim_call *call,
                            long status, json_t *answer);

/* sim_election.c */
void sim_election_step(struct sim *sim, struct sim_node *node);
void sim_election_answered(struct sim *sim, struct sim_node *node, struct sim_call *call,
                           long status, json_t *answer);
void sim_election_renewed(struct sim *sim, struct sim_node *node, struct sim_call *call,
                          long status);

/* sim_commit.c: the leader's transaction, node->pending_commit */
void sim_commit_send(struct sim *sim, struct sim_node *node);
void sim_commit_answered(struct sim *sim, struct sim_node *node, struct sim_call *call, long status,
                         json_t *answer);

/* sim_receive.c: messages that arrive */
void sim_receive_frame(struct sim *sim, struct sim_event *event);
void sim_receive_heartbeat(struct sim *sim, struct sim_event *event);
void sim_receive_user_request(struct sim *sim, struct sim_event *event);
void sim_send_direct_command(struct sim *sim, struct sim_event *event);
void sim_direct_command_ended(struct sim *sim, struct sim_event *event);
void sim_cloud_answered(struct sim *sim, struct sim_event *event);
void sim_list_machines(struct sim *sim, struct sim_node *node);
#endif
