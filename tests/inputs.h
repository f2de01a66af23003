/* Tests of malformed input, by kind of input. Each function prints and counts its failed checks;
 * inputs.c owns the counter. `directory` has the data files. */
#ifndef BD_TESTS_INPUTS_H
#define BD_TESTS_INPUTS_H

/* Prints and counts a failed check. */
void inputs_check(int ok, const char *what);
/* Returns the file's text, which the caller frees. Ends the program if the file cannot be read. */
char *inputs_read_file(const char *directory, const char *name);

/* inputs_settings.c */
void inputs_settings(const char *directory);
void inputs_operator_files(void);

/* inputs_wire.c */
void inputs_submissions(const char *directory);
void inputs_parents(void);
void inputs_heartbeats(const char *directory);
void inputs_cached_heartbeats(void);
void inputs_records(void);
void inputs_cloud(void);

/* inputs_frames.c */
void inputs_frames(void);
/* Records and frames that the version in production wrote, captured with `loopback PROGRAM capture
 * DIRECTORY`. */
void inputs_production(const char *directory);
#endif
