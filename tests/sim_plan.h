/* The plan of a simulated day: its settings and its faults in order of time, read from a file or
 * drawn from a seed. The head of simulation.c describes the files. */
#ifndef BD_TESTS_SIM_PLAN_H
#define BD_TESTS_SIM_PLAN_H
#include <stdbool.h>
#include <stdint.h>

#define PLAN_FAULTS_MAX 128
#define SIM_PLAN_MACHINES 6 /* initial machines, by default */

struct sim_plan {
    struct sim_fault {
        double at_s;
        char kind[16];
        char node[16];                    /* a controller's number, "leader" or "any" */
        double first_value, second_value; /* their meaning depends on the kind */
    } faults[PLAN_FAULTS_MAX];
    int nfaults, jobs, machines, services;
    int has_one_task_jobs, has_large_arrays, has_drains, has_odd_spellings; /* 0 or 1 */
    uint32_t budgets[2];                                                    /* by team */
    double cancelled_share, image_fetch_s;
};

/* Returns false if the file cannot be read, has an invalid line, which is reported on standard
 * error, or has no fault. */
bool sim_plan_read(struct sim_plan *plan, const char *path);
void sim_plan_draw(struct sim_plan *plan, unsigned long seed);
/* As sim_plan_draw, with more services, and drains among the faults. */
void sim_plan_draw_drains(struct sim_plan *plan, unsigned long seed);
/* As sim_plan_draw, with large arrays that users cancel, and more leader changes. */
void sim_plan_draw_arrays(struct sim_plan *plan, unsigned long seed);
/* As sim_plan_draw, with delays in the controllers' own queues and processes as well. */
void sim_plan_draw_delays(struct sim_plan *plan, unsigned long seed);
/* As sim_plan_draw, with direct commands, rentals and returns that are executed late, and machines
 * that restart within a second. */
void sim_plan_draw_late(struct sim_plan *plan, unsigned long seed);
#endif
