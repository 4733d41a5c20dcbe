/*
 * pe_report - how often hosts report to each other where collectors are in use.
 *
 * Load pattern
 *	Three hundred hosts that each report to every other one send ninety
 *	thousand messages in each period, most of them between zones. The load
 *	in them reaches the receivers through the collectors, too, and sooner;
 *	what remains is that the sender is alive and takes part.
 *
 * Overview
 *	Shared duties (collector, standby, reader of a region, forwarder of
 *	rows) fall to the first hosts of a zone in the order of their hashes. A
 *	host is on duty if it is among the first PE_DUTY_HOSTS of its zone that
 *	are alive, or of those that also take part. Hosts on duty report to each
 *	other often, so that the next one takes over within two seconds. All
 *	other hosts hear of each other rarely: none of them has to act when
 *	another one falls silent. Of hosts of other zones they hear through
 *	lists: the collector of a zone tells the collectors of the others who
 *	reports to it, and these tell their members. So the messages between
 *	zones do not grow with the square of the hosts.
 *
 *	Hosts may disagree for a moment about who is on duty. A host therefore
 *	expects frequent reports of another one only if the last ones were so.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	pe_report_duty(hosts, n, is_on_duty);
 *	period_ms = pe_report_period_ms(&pair);
 *	expected_ms = pe_report_expected_ms(&pair, observed_ms);
 */
#ifndef PE_REPORT_H
#define PE_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/** Hosts of a zone that are on duty: two with a role, and the next one. */
#define PE_DUTY_HOSTS 3

/** Between hosts on duty; a silent one is replaced after 1 s and two of these.
 */
#define PE_DUTY_PERIOD_MS 500
/** Between other hosts of a zone, and of different zones. */
#define PE_ZONE_PERIOD_MS  2000
#define PE_OTHER_PERIOD_MS 3000
/** Between lists of the hosts of a zone. */
#define PE_LIST_PERIOD_MS 2000
/** Between hosts of different zones that lists tell of each other. */
#define PE_LISTED_PERIOD_MS 30000

/**
 * struct pe_report_host - this host, or another one.
 * @hash: of the host name.
 * @zone: a number that identifies the zone.
 */
struct pe_report_host {
	uint64_t hash;
	uint32_t zone;
	bool is_alive;
	bool takes_part;
};

/**
 * struct pe_report_pair - sender and receiver of reports.
 * @is_listed: lists tell of the other one; see pe_report_is_listed().
 */
struct pe_report_pair {
	bool are_on_duty;
	bool is_same_zone;
	bool is_listed;
};

/**
 * pe_report_is_listed() - whether lists tell of a host.
 * @listed_ms: time since the last one that did.
 * @spread: random number of this host and the other one; hosts whose lists end
 *	do not all report at the same moment.
 */
bool pe_report_is_listed(int64_t listed_ms, uint64_t spread);

/** pe_report_duty() - which hosts are on duty. */
void pe_report_duty(const struct pe_report_host *hosts, uint32_t count,
		    bool *is_on_duty);

/** pe_report_period_ms() - time between two reports to a host. */
int64_t pe_report_period_ms(const struct pe_report_pair *pair);

/**
 * pe_report_expected_ms() - longest usual time between two reports of a host.
 * @observed_ms: the shorter one of the times before its last two reports.
 */
int64_t pe_report_expected_ms(const struct pe_report_pair *pair,
			      int64_t observed_ms);

/**
 * pe_report_zone_is_silent() - whether none of the hosts of a zone is alive.
 * @silent_ms: time since the last message from any of them.
 * @observed_ms: the shortest that was observed of any of them.
 *
 * The first hosts of a zone are heard often. If they and all others fall silent
 * together, the others need not be waited for.
 */
bool pe_report_zone_is_silent(int64_t silent_ms, int64_t observed_ms);

#endif
