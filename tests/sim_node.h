/* The simulated controllers: the adapters around each core, as events in simulated time. What the
 * owner thread, the store client, the election, the peers' transport and the clients of cloud and
 * workers do, each in a file of its own; simulation.c plays the days. A controller's state is its
 * struct sim_node. */
#ifndef BD_TESTS_SIM_NODE_H
#define BD_TESTS_SIM_NODE_H
#include "simulation.h"

/* sim_node.c: clocks, and what all of them need. A node's core must run for these. */
struct timespec sim_node_monotonic(const struct sim *sim, const struct sim_node *node);
double sim_node_wall(const struct sim *sim, const struct sim_node *node); /* seconds */
/* The core's time is set to the node's. */
void sim_node_set_clock(struct sim *sim, struct sim_node *node);
/* A call of the key-value store; takes the body. The answer comes to sim_node_answered. */
struct sim_call *sim_node_call(struct sim *sim, struct sim_node *node, enum sim_op op,
                               enum sim_purpose purpose, const char *key, char *body,
                               double timeout_s);
/* An event of this start of the node after a delay in seconds. */
struct sim_event *sim_node_schedule(struct sim *sim, struct sim_node *node, double delay,
                                    enum sim_event_kind kind);
/* A step of the core and all of its effects. */
void sim_node_step(struct sim *sim, struct sim_node *node);
void sim_release_acquisition(struct sim_node *node);

/* sim_effects.c. Takes the effect. */
void sim_perform_effect(struct sim *sim, struct sim_node *node, struct bd_effect *effect);
/* A frame to a peer, by its place in the node's settings; takes the effect's body, if there is an
 * effect. */
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

/* sim_receive.c: what arrives */
void sim_receive_frame(struct sim *sim, struct sim_event *event);
void sim_receive_heartbeat(struct sim *sim, struct sim_event *event);
void sim_receive_user_request(struct sim *sim, struct sim_event *event);
void sim_send_direct_command(struct sim *sim, struct sim_event *event);
void sim_direct_command_ended(struct sim *sim, struct sim_event *event);
void sim_cloud_answered(struct sim *sim, struct sim_event *event);
void sim_list_machines(struct sim *sim, struct sim_node *node);
#endif
