#include "daemon/message.h"

/* NAME may be the pool of a roll-out's target (rollout_pool_name). */
const profile_service_t *config_view_service(const config_view_t *v,
					     const char *name)
{
	char service[FLEET_NAME_SIZE];
	profile_service_t *found =
		v ? g_hash_table_lookup(v->services, name) : NULL;

	if (found || !v || !rollout_pool_service(name, service))
		return found;
	return g_hash_table_lookup(v->services, service);
}

const profile_t *config_view_profile(const config_view_t *v, const char *name)
{
	return v ? g_hash_table_lookup(v->profiles, name) : NULL;
}

static void free_profile(void *data)
{
	profile_finish(data);
	g_free(data);
}

config_view_t *config_view_new(void)
{
	config_view_t *v = g_rc_box_new0(config_view_t);

	v->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	v->profiles = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_profile);
	return v;
}

config_view_t *config_view_ref(config_view_t *v)
{
	return g_rc_box_acquire(v);
}

static void clear_config_view(void *data)
{
	config_view_t *v = data;

	g_hash_table_destroy(v->services);
	g_hash_table_destroy(v->profiles);
}

void config_view_unref(config_view_t *v)
{
	if (v)
		g_rc_box_release_full(v, clear_config_view);
}

vm_list_t *vm_list_new(const member_vm_t *daemons, size_t n_daemons,
		       const vm_list_runner_t *runners, size_t n_runners)
{
	vm_list_t *v = g_rc_box_new0(vm_list_t);

	v->daemons =
		g_array_sized_new(FALSE, FALSE, sizeof(*daemons), n_daemons);
	if (n_daemons)
		g_array_append_vals(v->daemons, daemons, n_daemons);
	v->runners =
		g_array_sized_new(FALSE, FALSE, sizeof(*runners), n_runners);
	if (n_runners)
		g_array_append_vals(v->runners, runners, n_runners);
	v->releases =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return v;
}

void vm_list_set_release(vm_list_t *v, const char *service, uint64_t release)
{
	if (release)
		g_hash_table_insert(v->releases, g_strdup(service),
				    g_memdup2(&release, sizeof(release)));
}

uint64_t vm_list_release(const vm_list_t *v, const char *service)
{
	const uint64_t *release =
		v ? g_hash_table_lookup(v->releases, service) : NULL;

	return release ? *release : 0;
}

vm_list_t *vm_list_ref(vm_list_t *v)
{
	return g_rc_box_acquire(v);
}

static void clear_vm_list(void *data)
{
	vm_list_t *v = data;

	g_array_free(v->daemons, TRUE);
	g_array_free(v->runners, TRUE);
	g_hash_table_destroy(v->releases);
}

void vm_list_unref(vm_list_t *v)
{
	if (v)
		g_rc_box_release_full(v, clear_vm_list);
}

static void clear_doc(void *data)
{
	config_doc_t *doc = data;

	g_clear_pointer(&doc->body, g_bytes_unref);
}

GArray *message_docs_new(void)
{
	GArray *docs = g_array_new(FALSE, TRUE, sizeof(config_doc_t));

	g_array_set_clear_func(docs, clear_doc);
	return docs;
}

static void clear_record(void *data)
{
	message_record_t *record = data;

	g_clear_pointer(&record->key, g_bytes_unref);
	g_clear_pointer(&record->value, g_bytes_unref);
}

GArray *message_records_new(void)
{
	GArray *records = g_array_new(FALSE, TRUE, sizeof(message_record_t));

	g_array_set_clear_func(records, clear_record);
	return records;
}

static void clear_answer(dedup_answer_t *answer)
{
	g_clear_pointer(&answer->content_type, g_free);
	g_clear_pointer(&answer->body, g_bytes_unref);
}

void message_finish(message_t *m)
{
	switch (m->type) {
	case MESSAGE_CONFIG:
		config_view_unref(m->config);
		break;
	case MESSAGE_FLEET:
		fleet_unref(m->fleet);
		break;
	case MESSAGE_VMS:
	case MESSAGE_VMS_RELAYED:
		vm_list_unref(m->vms);
		break;
	case MESSAGE_CONFIG_SEND:
	case MESSAGE_CONFIG_RELAYED:
		g_clear_pointer(&m->docs.docs, g_array_unref);
		break;
	case MESSAGE_STREAM_NOTES:
		g_clear_pointer(&m->streams.begun, g_array_unref);
		break;
	case MESSAGE_SPEEDS:
		g_clear_pointer(&m->speeds.digests, g_array_unref);
		break;
	case MESSAGE_ROLLOUT_ORDERS:
		g_clear_pointer(&m->rollout_orders, g_array_unref);
		break;
	case MESSAGE_ROLLOUT_STATES:
		g_clear_pointer(&m->rollout_states, g_array_unref);
		break;
	case MESSAGE_ROLLOUT_REPORT:
		g_clear_pointer(&m->rollout.tallies, g_array_unref);
		break;
	case MESSAGE_TOPIC_UPDATE:
		g_clear_pointer(&m->update.records, g_array_unref);
		g_clear_pointer(&m->update.batch, g_bytes_unref);
		break;
	case MESSAGE_LOCATE:
	case MESSAGE_LOCATED:
		g_clear_pointer(&m->locate.scoped, g_bytes_unref);
		clear_answer(&m->locate.answer);
		break;
	case MESSAGE_CLAIM_ENDED:
		g_clear_pointer(&m->claim.scoped, g_bytes_unref);
		clear_answer(&m->claim.answer);
		break;
	case MESSAGE_APPEND:
	case MESSAGE_APPENDED:
		g_clear_pointer(&m->append.data, g_bytes_unref);
		break;
	case MESSAGE_ROUTE_QUERY:
		g_clear_pointer(&m->query, route_query_unref);
		break;
	default:
		break;
	}
}
