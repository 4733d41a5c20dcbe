/* Free functions of the message bodies that the tasks exchange. */
#include "entry/en.h"

static void en_free_string(GString *text)
{
	if (text)
		g_string_free(text, TRUE);
}

void en_reply_free(void *body)
{
	struct en_reply *reply = body;

	if (reply->headers)
		g_ptr_array_free(reply->headers, TRUE);
	en_free_string(reply->data);
	g_free(reply);
}

void en_once_step_free(void *body)
{
	struct en_once_step *step = body;

	en_free_string(step->body);
	g_free(step);
}

void en_once_result_free(void *body)
{
	struct en_once_result *result = body;

	en_free_string(result->body);
	g_free(result);
}
