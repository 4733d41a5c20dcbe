/*
 * bn - the command "bench" and its modes.
 *
 * Overview
 *	`balsampin bench MODE [OPTION...]` measures one thing. A mode is a
 *	struct bn_mode that registers itself under the kind "bench".
 *
 * Use
 *	static const struct bn_mode mode = { "decide", "...", run };
 *	KN_REGISTER("bench", "decide", mode)
 */
#ifndef BN_H
#define BN_H

#include <stdint.h>

/**
 * struct bn_mode - something to measure.
 * @name: word after "bench" on the command line.
 * @summary: one line for the list of modes.
 * @run: gets argc and argv from its own word on; returns the exit code.
 */
struct bn_mode {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** bn_cpu_ns() - CPU time that this process has used. */
int64_t bn_cpu_ns(void);

/**
 * struct bn_line - a straight line through measurements.
 * @at_zero: value at x = 0.
 * @slope: per unit of x.
 */
struct bn_line {
	double at_zero;
	double slope;
};

/** bn_fit() - least squares. */
struct bn_line bn_fit(const double *x, const double *y, uint32_t count);

#endif
