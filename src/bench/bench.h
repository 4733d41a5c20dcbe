/*
 * bench - modes of `balsampin bench`.
 *
 * Overview
 *	A mode is a struct bench_mode registered under the kind "bench_mode".
 *	`balsampin bench MODE [OPTION...]` runs it.
 *
 * Use
 *	static const struct bench_mode load = { "load", "...", run };
 *	KN_REGISTER("bench_mode", "load", load)
 */
#ifndef BENCH_H
#define BENCH_H

/**
 * struct bench_mode - a mode.
 * @name: word on the command line.
 * @summary: one line for the list of modes.
 * @run: gets argc and argv from its own word on; returns the exit code.
 */
struct bench_mode {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

#endif
