#include "daemon/vm_frames.h"

static void fill_daemon(Papaya__Vm *out, const member_vm_t *vm)
{
	papaya__vm__init(out);
	out->name = (char *)vm->name;
	out->zone = (char *)vm->zone;
	out->address = (char *)vm->address;
	out->peer_address = (char *)vm->peer_address;
	out->admin_address = (char *)vm->admin_address;
	out->leaving = vm->is_leaving;
}

static void fill_runner(Papaya__Vm *out, const vm_list_runner_t *r)
{
	papaya__vm__init(out);
	out->name = (char *)r->runner.name;
	out->zone = (char *)r->zone;
	out->address = (char *)r->runner.address;
	out->leaving = r->runner.is_leaving;
	out->service = (char *)r->service;
	out->generation = r->runner.generation;
	out->fencing = r->has_fencing;
}

bool vm_frames_send(peer_t *peer, str_t to, const vm_list_t *vms)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__VmList list = PAPAYA__VM_LIST__INIT;
	guint n = vms->daemons->len + vms->runners->len;
	Papaya__Vm *all = g_new0(Papaya__Vm, n + 1);
	Papaya__Vm **pointers = g_new0(Papaya__Vm *, n + 1);
	bool is_sent;

	for (guint i = 0; i < vms->daemons->len; i++)
		fill_daemon(&all[i],
			    &g_array_index(vms->daemons, member_vm_t, i));
	for (guint i = 0; i < vms->runners->len; i++)
		fill_runner(&all[vms->daemons->len + i],
			    &g_array_index(vms->runners, vm_list_runner_t, i));
	for (guint i = 0; i < n; i++)
		pointers[i] = &all[i];
	list.vms = pointers;
	list.n_vms = n;
	frame.body_case = PAPAYA__FRAME__BODY_VM_LIST;
	frame.vm_list = &list;
	is_sent = peer_send(peer, to, &frame);
	g_free(pointers);
	g_free(all);
	return is_sent;
}

static bool copy_name(char *buf, const char *s)
{
	return str_copy(buf, MEMBER_NAME_SIZE, str_from(s));
}

static bool read_daemon(const Papaya__Vm *in, member_vm_t *out)
{
	*out = (member_vm_t){ .is_leaving = in->leaving };
	return copy_name(out->name, in->name) &&
	       copy_name(out->zone, in->zone) &&
	       copy_name(out->address, in->address) &&
	       copy_name(out->peer_address, in->peer_address) &&
	       copy_name(out->admin_address, in->admin_address);
}

static bool read_runner(const Papaya__Vm *in, vm_list_runner_t *out)
{
	*out = (vm_list_runner_t){ .has_fencing = in->fencing };
	out->runner.is_leaving = in->leaving;
	out->runner.generation = in->generation;
	return copy_name(out->runner.name, in->name) &&
	       copy_name(out->runner.address, in->address) &&
	       copy_name(out->service, in->service) &&
	       copy_name(out->zone, in->zone);
}

vm_list_t *vm_frames_read(const Papaya__VmList *frame)
{
	vm_list_t *v = vm_list_new(NULL, 0, NULL, 0);
	vm_list_runner_t runner;
	member_vm_t daemon;

	for (size_t i = 0; i < frame->n_vms; i++) {
		const Papaya__Vm *vm = frame->vms[i];

		if (vm->service[0] && read_runner(vm, &runner))
			g_array_append_val(v->runners, runner);
		else if (!vm->service[0] && read_daemon(vm, &daemon))
			g_array_append_val(v->daemons, daemon);
	}
	return v;
}
