package daemon

import (
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/queue"
)

// buildQueues registers the queues in front of the pools. They depend on the
// picker's capacity; the picker has its own subscription to the configuration.
func (d *Daemon) buildQueues() error {
	picker, err := kernel.Find[*pick.Picker](d.services, namePicker)
	if err != nil {
		return err
	}
	limit := d.settings.Queue
	s := queue.NewSet(picker, queue.WithMaxWaiting(limit.Customer, limit.Pool),
		queue.WithLog(d.log), queue.WithMeter(d.meter.Scope()))
	d.state.holder.Subscribe(func(c *conf.Snapshot) { s.Update(c.Pools()) })
	return kernel.Provide(d.services, nameQueues, s)
}
