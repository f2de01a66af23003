/* What a simulated day holds: its faults in the order of time, read from a file or drawn from a
 * seed. The head of simulation.c says what the files look like. */
#ifndef BD_TESTS_SIM_PLAN_H
#define BD_TESTS_SIM_PLAN_H
#include <stdbool.h>
#include <stdint.h>

#define PLAN_FAULTS_MAX 128
#define SIM_PLAN_MACHINES 6 /* at first, where the day does not say */

struct sim_plan {
    struct sim_fault {
        double at;
        char verb[16], who[16];
        double a, b;
    } faults[PLAN_FAULTS_MAX];
    int nfaults, jobs, machines, services;
    int small, drains; /* flags: jobs of one short task; with drains */
    uint32_t budgets[2];
    double cancelled, fetch;
};

/* False: it cannot be read, or names no fault; standard error says where. */
bool sim_plan_read(struct sim_plan *plan, const char *path);
void sim_plan_draw(struct sim_plan *plan, unsigned long seed);
/* ... with more services, and drains among the faults */
void sim_plan_draw_drains(struct sim_plan *plan, unsigned long seed);
/* ... on which the controllers' own queues and processes are late as well */
void sim_plan_draw_delays(struct sim_plan *plan, unsigned long seed);
#endif
