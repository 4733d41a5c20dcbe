#include "peers/pe_pace.h"

void pe_pace_init(struct pe_pace *pace)
{
	g_queue_init(&pace->_waiting);
	pace->_has_sent = false;
}

bool pe_pace_is_full(const struct pe_pace *pace)
{
	return pace->_waiting.length >= PE_PACE_MAX;
}

bool pe_pace_offer(struct pe_pace *pace, void *message)
{
	if (!pace->_has_sent && !pace->_waiting.length) {
		pace->_has_sent = true;
		return true;
	}
	g_queue_push_tail(&pace->_waiting, message);
	return false;
}

void *pe_pace_next(struct pe_pace *pace)
{
	void *message = g_queue_pop_head(&pace->_waiting);

	pace->_has_sent = message != NULL;
	return message;
}

void *pe_pace_take(struct pe_pace *pace)
{
	return g_queue_pop_head(&pace->_waiting);
}
